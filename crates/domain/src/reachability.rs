//! Which addresses from foreign rows a process may connect to.
//!
//! Rows of the platform's store are written by others, so an address in them may be
//! one at which no other process can listen.

use std::net::{IpAddr, SocketAddr};

/// Whether another process can listen at `address`, as seen from a process that
/// listens at the addresses `own`: it has a port, names one machine, belongs to the
/// same address family and is not the process's own.
pub fn is_reachable(address: SocketAddr, own: &[SocketAddr]) -> bool {
    let names_a_machine = match address.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast(),
        IpAddr::V6(ip) => !ip.is_unspecified() && !ip.is_multicast(),
    };
    let is_same_family = own.iter().all(|own| own.is_ipv4() == address.is_ipv4());
    address.port() != 0 && names_a_machine && is_same_family && !own.contains(&address)
}
