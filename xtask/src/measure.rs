//! `cargo xtask measure NAME`: one measurement with real processes.
//!
//! Each measurement prints what it saw and ends with one line
//! `NAME key=value …`. It fails when a target of the product is missed; the
//! bounds come from the targets, not from what was measured before.

mod byte_relay;
pub mod byte_scan;
pub mod calls;
mod control;
mod control_flow;
mod control_idle;
mod control_load;
mod control_site;
mod design_size;
mod load;
pub mod notes;
mod proc_reader;
mod resume;
mod slope_book;
pub mod slope_fit;

use miette::{Result, miette};
use serde_json::Value;

/// What a measurement is told.
#[derive(Clone, Copy, Debug)]
pub struct MeasureOptions {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Whether the figures are printed as JSON before the last line.
    pub is_json: bool,
}

/// What a measurement found.
#[derive(Clone, Debug)]
pub struct MeasureReport {
    /// All figures.
    pub figures: Value,
    /// The last line.
    pub line: String,
    /// Targets that were missed.
    pub missed: Vec<String>,
}

/// Names of all measurements.
pub const NAMES: [&str; 5] = ["calls", "control", "load", "notes", "resume"];

/// Run a measurement.
pub async fn run(name: &str, options: MeasureOptions) -> Result<()> {
    let report = measure(name, options).await?;
    if options.is_json {
        println!("{:#}", report.figures);
    }
    for missed in &report.missed {
        println!("missed: {missed}");
    }
    println!("{}", report.line);
    if !report.missed.is_empty() {
        return Err(miette!("{} targets missed", report.missed.len()));
    }
    Ok(())
}

async fn measure(name: &str, options: MeasureOptions) -> Result<MeasureReport> {
    match name {
        "notes" => notes::measure(options).await,
        "load" => load::run(options).await,
        "calls" => calls::measure(options).await,
        "resume" => resume::measure(options).await,
        "control" => control::measure(options).await,
        _ => Err(miette!("no measurement `{name}`")),
    }
}
