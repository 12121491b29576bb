use super::Kind;

const PERIOD_SECONDS: f64 = 180.0;
const CROWDING: f64 = 1.5;
const CROWDED_PART: f64 = 0.95;

/// What the scheduler does not know: how tasks disturb prompt services.
///
/// The slowdown of a service on a worker is `1 + load * sum(noise of class * cores / cores of the
/// VM)`, and grows with the use above 95% of the cores. The load of the prompt side moves in steps
/// and noisy classes get louder in waves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hidden;

impl Hidden {
    /// Load of the prompt side, relative to usual.
    pub(super) fn load(second: f64) -> f64 {
        const STEPS: [f64; 5] = [1.0, 1.5, 0.7, 1.3, 0.9];
        STEPS[(second / 150.0) as usize % STEPS.len()]
    }

    /// Factor on the noise of a class.
    pub(super) fn wave(kind: Kind, second: f64) -> f64 {
        let in_wave = second % PERIOD_SECONDS < PERIOD_SECONDS / 4.0;
        if kind == Kind::Noisy && in_wave { 1.8 } else { 1.0 }
    }

    /// Latency of a service at the 99th percentile when it runs alone, in microseconds.
    pub(super) fn alone_micros(second: f64) -> f64 {
        8_000.0 * (0.6 + 0.4 * Self::load(second))
    }

    /// Slowdown by the cores that tasks use, given by kind as parts of the VM's.
    pub(super) fn slowdown(second: f64, parts: &[(Kind, f64)], used_part: f64) -> f64 {
        let noise: f64 =
            parts.iter().map(|(kind, part)| kind.noise() * Self::wave(*kind, second) * part).sum();
        let crowding = CROWDING * (used_part - CROWDED_PART).max(0.0);
        1.0 + Self::load(second) * (noise + crowding)
    }
}
