//! Property tests over random scenarios with injected faults.

mod random_faults;
