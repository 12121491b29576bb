use comfreymill_jobs::scheduler;
use comfreymill_types::yaml;

/// Reserved part of a pool's processors from which long-running tasks are packed, in percent.
const FROM_PERCENT: u32 = 70;
/// Free processor time that is too little for nearly all tasks, in thousandths of a core.
const TIGHT_CPU_MILLI: u32 = 300;

/// Settings of the packing of long-running tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PackingSettings {
    from_percent: u32,
    tight_cpu_milli: u32,
}

impl PackingSettings {
    /// Returns the parameters of the scheduler's decisions.
    pub fn get_config(&self) -> scheduler::PackingConfig {
        scheduler::PackingConfig::new(self.from_percent, self.tight_cpu_milli)
    }

    /// Reads the section `packing`, if there is one.
    pub(super) fn read(parent: &yaml::Section<'_>) -> Option<Self> {
        let section = parent.section("packing")?;
        let from_percent = section.optional("from_percent").unwrap_or(FROM_PERCENT);
        let tight_cpu_milli = section.optional("tight_cpu_milli").unwrap_or(TIGHT_CPU_MILLI);
        if from_percent > 100 {
            section.problem("from_percent", "is at most 100");
        }
        if tight_cpu_milli == 0 {
            section.problem("tight_cpu_milli", "must be greater than 0");
        }
        section.finish();
        Some(Self { from_percent, tight_cpu_milli })
    }
}
