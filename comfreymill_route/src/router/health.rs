use comfreymill_types::time;

/// State of an executor in outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Health {
    /// Receives requests.
    Serving,
    /// Receives no requests; a probe is sent at `until`.
    Ejected { until: time::Monotonic },
    /// Receives no requests while a probe is in progress; the probe times out at `until`.
    Probing { until: time::Monotonic },
    /// Receives one request at a time until one has succeeded.
    Trial,
}
