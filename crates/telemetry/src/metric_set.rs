//! Metrics of one process.
//!
//! Every name ends with its unit, or with `_total` for a count; names without
//! either are gauges of things counted now.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, core::Collector,
};

/// One metric as it was registered, whether or not it has a value yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricDescription {
    /// Name.
    pub name: String,
    /// What it counts or measures.
    pub help: String,
}

/// Metrics by name, registered once at the start.
#[derive(Clone, Debug, Default)]
pub struct MetricSet {
    registry: Registry,
    descriptions: Vec<MetricDescription>,
}

impl MetricSet {
    /// Register a counter.
    ///
    /// # Panics
    ///
    /// If the name is taken or malformed, which is a mistake in the program.
    pub fn counter(&mut self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("the name is well formed");
        self.register(&counter);
        counter
    }

    /// Register counters that differ in one label.
    ///
    /// # Panics
    ///
    /// If the name is taken or malformed, which is a mistake in the program.
    pub fn counters(&mut self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let counters =
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is well formed");
        self.register(&counters);
        counters
    }

    /// Register a gauge.
    ///
    /// # Panics
    ///
    /// If the name is taken or malformed, which is a mistake in the program.
    pub fn gauge(&mut self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("the name is well formed");
        self.register(&gauge);
        gauge
    }

    /// Register a histogram of seconds.
    ///
    /// # Panics
    ///
    /// If the name is taken or malformed, which is a mistake in the program.
    pub fn seconds(&mut self, name: &str, help: &str) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(vec![
            0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0,
        ]);
        let histogram = Histogram::with_opts(options).expect("the name is well formed");
        self.register(&histogram);
        histogram
    }

    /// All metrics, in the order of their registration.
    pub fn descriptions(&self) -> &[MetricDescription] {
        &self.descriptions
    }

    /// All metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        // Writing into memory fails only for a metric without a name.
        if encoder.encode(&self.registry.gather(), &mut text).is_err() {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }

    fn register<C: Collector + Clone + 'static>(&mut self, collector: &C) {
        self.descriptions
            .extend(collector.desc().iter().map(|desc| MetricDescription {
                name: desc.fq_name.clone(),
                help: desc.help.clone(),
            }));
        self.registry
            .register(Box::new(collector.clone()))
            .expect("every name is registered once");
    }
}
