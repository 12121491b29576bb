use std::net::SocketAddr;

use comfreymill_node::runtime;

/// A second process took the address as well, and each got a part of the connections, although the
/// first one answered none while it ended.
#[test]
fn an_address_that_is_in_use_cannot_be_taken_again() {
    runtime::block_on(async {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let first = runtime::listen("listeners.peers", free).expect("a free port");
        let address = first.local_addr().expect("an address");
        assert!(runtime::listen("listeners.peers", address).is_err());
    })
    .expect("a runtime");
}
