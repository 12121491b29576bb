use comfreymill_types::id;

/// Slots that an entry wants of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceDemand {
    /// Service wanted.
    pub service: id::ServiceName,
    /// Slots in use and requests waiting.
    pub slots: u32,
}
