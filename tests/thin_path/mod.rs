//! The whole path, thin, through separate processes that are killed in turn.

mod fixture;
mod whole_path;
