//! Operators' changes and their first replies, kept for resends.

mod operation_log;

pub use operation_log::OperationLog;
