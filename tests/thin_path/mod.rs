//! The whole path, thin, through separate processes that are killed in turn.

mod whole_path;
