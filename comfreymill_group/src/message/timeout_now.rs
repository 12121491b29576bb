/// Tells a follower to stand for election at once; the leader has given up its lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TimeoutNow {}
