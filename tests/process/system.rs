use std::fs;

use comfreymill_bench::idle;

use crate::support::Fixture;

/// Returns the link targets of the file descriptors of a process.
fn open_files(process: u32) -> Vec<String> {
    let folder = fs::read_dir(format!("/proc/{process}/fd")).expect("the process runs");
    let links = folder.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.map(|link| link.display().to_string()).collect()
}

#[test]
fn no_process_uses_io_uring_or_starts_another() {
    let mut fixture = Fixture::start(1, 1);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.search(0, "first");
    for process in [&fixture.cluster.controls[0], &fixture.cluster.entries[0]] {
        let id = process.get_id().expect("the process runs");
        let files = open_files(id);
        assert!(files.iter().any(|file| file.contains("eventpoll")), "{files:?}");
        assert!(!files.iter().any(|file| file.contains("io_uring")), "{files:?}");
        for thread in fs::read_dir(format!("/proc/{id}/task")).expect("the process runs") {
            let children = thread.expect("a thread").path().join("children");
            let children = fs::read_to_string(children).unwrap_or_default();
            assert_eq!(children.trim(), "", "the process has no child process");
        }
    }
}

#[test]
fn the_usage_of_a_process_is_read_while_it_runs() {
    let own = std::process::id();
    let before = idle::Usage::read(own).expect("this process runs");
    let mut sum = 0_u64;
    while idle::Usage::read(own).expect("the process runs").processor <= before.processor {
        sum = std::hint::black_box(sum.wrapping_add(1));
    }
    assert!(before.memory_bytes > 1_000_000, "{before:?}");

    let mut fixture = Fixture::start(1, 1);
    let id = fixture.cluster.controls[0].get_id().expect("the process runs");
    idle::Usage::read(id).expect("the process runs");
    fixture.cluster.controls[0].kill();
    idle::Usage::read(id).expect_err("the process has ended");
}
