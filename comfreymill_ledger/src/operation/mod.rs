//! First replies to the changes of operators, returned again when a change is resent.

mod operation_log;

pub use operation_log::OperationLog;
