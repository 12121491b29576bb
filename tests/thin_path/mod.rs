//! End-to-end test with prompt requests and batch jobs, through separate processes that are killed in
//! turn.

mod whole_path;
