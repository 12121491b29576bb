use comfreymill_types::id;
use comfreymill_types::time;

/// Properties of a prompt request that the router needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestView {
    /// Number of the request, unique within the router.
    pub id: u64,
    /// Class of the request.
    pub class: id::ClassName,
    /// Team that sends the request.
    pub team: id::TeamName,
    /// Time at which the request arrived.
    pub arrival: time::Monotonic,
    /// Time by which the answer must be complete, if earlier than the class's deadline.
    pub deadline: Option<time::Monotonic>,
    /// Whether the request has an idempotency key.
    pub keyed: bool,
    /// Whether the caller requires that the request runs at most once.
    pub unrepeatable: bool,
}
