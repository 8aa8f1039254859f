//! Checks on the shape of the workspace.

use std::process::Command;

use miette::{IntoDiagnostic, Result, miette};

/// Crates that a domain without sockets, encodings and tasks must not reach.
///
/// `tokio` itself is allowed for its clock alone, so its features are checked.
const FORBIDDEN: [&str; 9] = [
    "hyper",
    "http",
    "jsonrpsee",
    "mio",
    "serde",
    "serde_json",
    "socket2",
    "volo",
    "volo-http",
];

/// Check that the domain depends on no crate that talks or encodes.
pub fn check_domain() -> Result<()> {
    let output = Command::new("cargo")
        .args([
            "tree",
            "--package",
            "domain",
            "--edges",
            "normal",
            "--prefix",
            "none",
            "--format",
            "{p}",
        ])
        .output()
        .into_diagnostic()?;
    if !output.status.success() {
        return Err(miette!("{}", String::from_utf8_lossy(&output.stderr)));
    }
    let tree = String::from_utf8_lossy(&output.stdout);
    let found = forbidden_in(&tree);
    if !found.is_empty() {
        return Err(miette!("domain depends on {}", found.join(", ")));
    }
    println!("domain depends on no crate that talks or encodes");
    Ok(())
}

/// Forbidden crates of a dependency tree.
pub fn forbidden_in(tree: &str) -> Vec<&str> {
    let mut found: Vec<&str> = tree
        .lines()
        .filter_map(|line| line.split_whitespace().next())
        .filter(|name| FORBIDDEN.contains(name))
        .collect();
    found.sort_unstable();
    found.dedup();
    found
}
