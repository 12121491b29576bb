mod answers;
mod caller;
mod deadlines;
mod executor;
mod failures;
mod test_entry;
