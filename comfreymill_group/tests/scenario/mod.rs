//! Scenarios of a group, each with one specific fault.

mod disk;
mod durable;
mod founding;
mod group;
mod kill;
mod learner;
mod limits;
mod log_lines;
mod lost_quorum;
mod member;
mod message;
mod older_term;
mod partition;
mod paused;
mod refusal;
mod single;
mod slow;
mod slow_voter;
mod transfer;
