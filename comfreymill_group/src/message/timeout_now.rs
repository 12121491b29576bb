/// Tells a follower to start an election immediately; the leader has released its lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TimeoutNow {}
