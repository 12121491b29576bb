mod bad_input;
mod good_input;
mod stopping;
