mod attempts;
mod entry;
mod executor;
mod faults;
mod leader;
mod message;
mod properties;
mod simulation;
