//! All slopes of one run, by name.

use std::{collections::BTreeMap, time::Duration};

use miette::{Result, miette};
use serde_json::Value;

use crate::measure::{proc_reader::ProcReader, slope_fit::SlopeFit};

/// Slopes by name; each is printed as it is entered.
#[derive(Debug, Default)]
pub struct SlopeBook {
    fits: BTreeMap<&'static str, SlopeFit>,
}

impl SlopeBook {
    /// Fit a line and keep it.
    pub fn enter(&mut self, name: &'static str, points: Vec<(f64, f64)>) {
        let fit = SlopeFit::new(points);
        println!(
            "{name}: {:.6} each, base {:.4}, spread {:.4}",
            fit.slope, fit.base, fit.spread
        );
        self.fits.insert(name, fit);
    }

    /// A line by its name.
    pub fn fit(&self, name: &str) -> Result<&SlopeFit> {
        self.fits
            .get(name)
            .ok_or_else(|| miette!("no slope `{name}`"))
    }

    /// All lines as JSON.
    pub fn to_json(&self) -> Value {
        self.fits
            .iter()
            .map(|(name, fit)| ((*name).to_owned(), fit.to_json()))
            .collect()
    }
}

/// What a process spent over a window.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSpend {
    /// Share of a core.
    pub core: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: f64,
}

/// Watch processes over a window.
pub async fn watch(processes: &[&ProcReader], window: Duration) -> Result<Vec<ProcessSpend>> {
    let started = std::time::Instant::now();
    let before = times(processes)?;
    tokio::time::sleep(window).await;
    let after = times(processes)?;
    let wall = started.elapsed().as_secs_f64();
    let spent = before.iter().zip(&after);
    spent
        .zip(processes)
        .map(|((before, after), process)| {
            Ok(ProcessSpend {
                core: (after.saturating_sub(*before)).as_secs_f64() / wall,
                resident_bytes: process.resident_bytes()?,
            })
        })
        .collect()
}

fn times(processes: &[&ProcReader]) -> Result<Vec<Duration>> {
    processes
        .iter()
        .map(|process| process.processor_time())
        .collect()
}
