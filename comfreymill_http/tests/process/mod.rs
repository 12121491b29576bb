use std::fs;

use crate::support::{self, Peer, Service};

#[test]
fn process_uses_epoll_and_no_io_uring() {
    let links = support::run(async {
        let service = Service::echo(support::limits());
        let good = "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let responses = Peer::exchange(service.addr, good).await;
        assert_eq!(responses[0].status, 200);
        let entries = fs::read_dir("/proc/self/fd").expect("descriptors");
        entries
            .filter_map(|entry| fs::read_link(entry.ok()?.path()).ok())
            .map(|link| link.to_string_lossy().into_owned())
            .collect::<Vec<_>>()
    });
    assert!(links.iter().any(|link| link.contains("eventpoll")), "{links:?}");
    assert!(!links.iter().any(|link| link.contains("io_uring")), "{links:?}");
}
