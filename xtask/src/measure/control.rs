//! `cargo xtask measure control`: what the system's own work costs, by slopes.
//!
//! Each slope is fitted to at least four points, measured with real processes.
//! The last line is worked out from them at the size that the users plan for,
//! for the worse of entry and agent. Control is what a process does beside
//! carrying requests and tokens: lists, notes, probes, heartbeats, records.

use miette::Result;
use serde_json::json;

use crate::measure::{
    MeasureOptions, MeasureReport, control_flow, control_idle, control_load,
    design_size::DeploymentNeed, slope_book::SlopeBook,
};

/// Measure all slopes and work out the design size.
///
/// The seed draws the times at which generations come on streams that flow.
pub async fn measure(options: MeasureOptions) -> Result<MeasureReport> {
    let mut book = SlopeBook::default();
    control_idle::measure(&mut book).await?;
    control_load::measure(&mut book).await?;
    control_flow::measure(&mut book, options.seed).await?;
    let need = DeploymentNeed::from_slopes(&book)?;
    println!("at the design size: {need:#?}");
    Ok(MeasureReport {
        figures: json!({ "slopes": book.to_json(), "design_size": need.to_json() }),
        line: need.line(),
        missed: need.missed(),
    })
}
