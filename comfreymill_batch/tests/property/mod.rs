//! Property tests over random scenarios with injected faults.

mod disorder;
