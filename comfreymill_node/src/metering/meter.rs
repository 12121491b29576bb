use std::io;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use comfreymill_types::error;
use metrics_exporter_prometheus as prometheus;

use super::metric;

const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

static INSTALLED: Mutex<Option<Meter>> = Mutex::new(None);

/// Handle that renders the metrics of the process.
#[derive(Clone)]
pub struct Meter {
    handle: prometheus::PrometheusHandle,
}

impl Meter {
    /// Installs the recorder of the process, or returns the meter of the installed one.
    ///
    /// A thread regularly moves the recorded samples into their buckets, so that memory stays
    /// bounded when the metrics are not scraped.
    ///
    /// # Errors
    ///
    /// Fails if another recorder is installed or the thread cannot be started.
    pub fn install() -> Result<Self, error::Error> {
        let mut installed = INSTALLED.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(meter) = installed.as_ref() {
            return Ok(meter.clone());
        }
        let internal = |message: String| error::Error::new(error::ErrorKind::Internal, message);
        let (recorder, meter) = Self::build()?;
        metrics::set_global_recorder(recorder).map_err(|error| internal(error.to_string()))?;
        meter.start_upkeep().map_err(|error| internal(error.to_string()))?;
        *installed = Some(meter.clone());
        Ok(meter)
    }

    /// Builds a recorder without installing it, together with its meter.
    ///
    /// # Errors
    ///
    /// Fails if a histogram has no bucket bounds.
    pub fn build() -> Result<(prometheus::PrometheusRecorder, Self), error::Error> {
        let recorder = build_recorder()
            .map_err(|error| error::Error::new(error::ErrorKind::Internal, error.to_string()))?;
        metrics::with_local_recorder(&recorder, describe_all);
        let handle = recorder.handle();
        Ok((recorder, Self { handle }))
    }

    /// Renders the metrics as the text for `/metrics`.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    fn start_upkeep(&self) -> io::Result<()> {
        let handle = self.handle.clone();
        let upkeep = move || loop {
            thread::sleep(UPKEEP_PERIOD);
            handle.run_upkeep();
        };
        thread::Builder::new().name("metrics-upkeep".to_owned()).spawn(upkeep).map(drop)
    }
}

fn build_recorder() -> Result<prometheus::PrometheusRecorder, prometheus::BuildError> {
    let mut builder = prometheus::PrometheusBuilder::new();
    for metric in metric::ALL {
        if let metric::Kind::Histogram(bounds) = metric.kind {
            let matcher = prometheus::Matcher::Full(metric.name.to_owned());
            builder = builder.set_buckets_for_metric(matcher, bounds)?;
        }
    }
    Ok(builder.build_recorder())
}

fn describe_all() {
    for metric in metric::ALL {
        match metric.kind {
            metric::Kind::Counter => {
                metrics::describe_counter!(metric.name, metric.unit, metric.help);
            }
            metric::Kind::Gauge => {
                metrics::describe_gauge!(metric.name, metric.unit, metric.help);
            }
            metric::Kind::Histogram(_) => {
                metrics::describe_histogram!(metric.name, metric.unit, metric.help);
            }
        }
    }
}
