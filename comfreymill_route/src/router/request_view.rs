use comfreymill_types::id;
use comfreymill_types::time;

/// Prompt request as the router needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestView {
    /// Number of the request, unique within the router.
    pub id: u64,
    /// Class of the request.
    pub class: id::ClassName,
    /// Team that asks.
    pub team: id::TeamName,
    /// When the request came.
    pub arrival: time::Monotonic,
    /// When the answer must be complete, if earlier than the class's deadline.
    pub deadline: Option<time::Monotonic>,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Whether the caller marked it as running at most once.
    pub unrepeatable: bool,
}
