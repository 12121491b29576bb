use super::Kind;

const WAVE_PERIOD_SECONDS: f64 = 180.0;
const CROWDING_FACTOR: f64 = 1.5;
const CROWDED_SHARE: f64 = 0.95;

/// Model of the interference of batch tasks with prompt services, which the scheduler does not
/// know.
///
/// The slowdown of a service on a worker is `1 + load * sum(noise of class * cores / cores of the
/// VM)`, and grows with the use above 95% of the cores. The prompt load changes in steps, and the
/// noise of noisy classes rises periodically.
#[derive(Clone, Copy, Debug)]
pub(super) struct InterferenceModel;

impl InterferenceModel {
    /// Returns the prompt load relative to the usual load.
    pub(super) fn load(second: f64) -> f64 {
        const STEPS: [f64; 5] = [1.0, 1.5, 0.7, 1.3, 0.9];
        STEPS[(second / 150.0) as usize % STEPS.len()]
    }

    /// Returns the factor on the noise of a class at a time.
    pub(super) fn noise_factor(kind: Kind, second: f64) -> f64 {
        let in_wave = second % WAVE_PERIOD_SECONDS < WAVE_PERIOD_SECONDS / 4.0;
        if kind == Kind::Noisy && in_wave { 1.8 } else { 1.0 }
    }

    /// Returns the 99th percentile latency of a service that runs alone, in microseconds.
    pub(super) fn alone_micros(second: f64) -> f64 {
        8_000.0 * (0.6 + 0.4 * Self::load(second))
    }

    /// Returns the slowdown of a service. `parts` holds the cores that tasks use, by kind of job,
    /// and `used_part` all used cores, both as fractions of the VM's cores.
    pub(super) fn slowdown(second: f64, parts: &[(Kind, f64)], used_part: f64) -> f64 {
        let noise: f64 = parts
            .iter()
            .map(|(kind, part)| kind.noise() * Self::noise_factor(*kind, second) * part)
            .sum();
        let crowding = CROWDING_FACTOR * (used_part - CROWDED_SHARE).max(0.0);
        1.0 + Self::load(second) * (noise + crowding)
    }
}
