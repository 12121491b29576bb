use comfreymill_jobs::job;
use comfreymill_jobs::worker;

/// Number of images that serving tasks and fillers each have.
const IMAGES: u64 = 20;
const TAIL_TARGET_MS: u32 = 150;

/// Kind of the tasks that wait and run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Load {
    Plain,
    Serving,
    Fillers,
}

impl Load {
    pub(super) const ALL: [Self; 3] = [Self::Plain, Self::Serving, Self::Fillers];

    /// Returns the name of the load in the names of figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Serving => "serving",
            Self::Fillers => "fillers",
        }
    }

    /// Returns the step of job number `i`: one task that fits where another one has ended.
    pub(super) fn step(self, i: u64) -> job::StepSpec {
        let image = i % IMAGES;
        let step = job::StepSpec { count: 1, estimate_ms: 800, ..job::StepSpec::default() };
        match self {
            Self::Plain => {
                let cpu_milli = 600 + 100 * (i % 5) as u32;
                let mem_mb = 1_000 + 37 * (i % 8) as u32;
                job::StepSpec { needs: worker::Resources { cpu_milli, mem_mb, gpus: 0 }, ..step }
            }
            Self::Serving => job::StepSpec {
                needs: worker::Resources { cpu_milli: 1_000, mem_mb: 2_000, gpus: 0 },
                is_long_running: true,
                image: Some(format!("service-{image}")),
                tail_target_ms: Some(TAIL_TARGET_MS),
                ..step
            },
            Self::Fillers => job::StepSpec {
                needs: worker::Resources { cpu_milli: 2_000, mem_mb: 500, gpus: 0 },
                is_filler: true,
                image: Some(format!("filler-{image}")),
                ..step
            },
        }
    }

    /// Returns the steps of the jobs that fill a fleet of `workers`.
    pub(super) fn filling(self, workers: u64) -> Vec<job::StepSpec> {
        let full = worker::Resources { cpu_milli: 1_000, mem_mb: 2_000, gpus: 0 };
        match self {
            Self::Plain => {
                let step = |_| job::StepSpec { needs: full, ..Self::Plain.step(0) };
                (0..workers * 16).map(step).collect()
            }
            Self::Serving => (0..workers * 16).map(|i| Self::Serving.step(i)).collect(),
            Self::Fillers => {
                let serving = (0..workers * 8).map(|i| Self::Serving.step(i));
                serving.chain((0..workers * 2).map(|i| Self::Fillers.step(i))).collect()
            }
        }
    }
}
