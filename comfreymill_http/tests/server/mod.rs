mod bad_input;
mod capacity;
mod fuzz;
mod good_input;
mod splitting;
mod stopping;
mod streaming;
mod unanswered;
