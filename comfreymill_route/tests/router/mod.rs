mod choice;
mod health;
mod outcomes;
mod queue;
mod refusals;
mod table;
