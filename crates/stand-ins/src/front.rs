//! What the stand-ins' HTTP fronts share.

use std::net::SocketAddr;

use volo::net::Address;
use volo_http::{
    error::BoxError,
    server::{Router, Server},
};

/// Serve until the process is stopped.
pub async fn serve(router: Router, listen: SocketAddr) -> Result<(), BoxError> {
    Server::new(router).run(Address::from(listen)).await
}
