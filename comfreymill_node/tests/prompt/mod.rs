mod bed;
mod caller;
mod executor;
mod failures;
mod lateness;
mod whole_answers;
