use comfreymill_types::id;

/// Number of slots that an entry wants for one service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceDemand {
    /// Service to which the demand applies.
    pub service: id::ServiceName,
    /// Number of slots for arriving and running requests and for clearing the queue.
    pub slots: u32,
}
