use std::fs;
use std::os::unix::fs::PermissionsExt as _;

use comfreymill_node::settings;

use crate::scratch::Scratch;

#[test]
fn a_missing_folder_is_prepared_once() {
    let scratch = Scratch::new();
    let folder = scratch.path("new/data");
    let embedded = settings::Embedded::new(&folder);
    embedded.prepare().expect("prepared");
    let secrets = ["cluster.key", "operators.token"].map(|name| folder.join(name));
    let texts = secrets.clone().map(|file| fs::read_to_string(file).expect("read"));
    assert_ne!(texts[0], texts[1]);
    for (file, text) in secrets.iter().zip(&texts) {
        assert_eq!(text.trim().len(), 64);
        assert_eq!(fs::metadata(file).expect("read").permissions().mode() & 0o777, 0o600);
    }
    embedded.prepare().expect("prepared again");
    assert_eq!(secrets.map(|file| fs::read_to_string(file).expect("read")), texts);
}

#[test]
fn the_entry_finds_the_only_voter() {
    let embedded = settings::Embedded::new("data");
    let entry = embedded.get_entry().expect("valid");
    let control = embedded.get_control().expect("valid");
    let voters = entry.get_common().get_network().get_voters();
    assert_eq!(voters, control.get_common().get_network().get_voters());
    assert_eq!(voters.len(), 1);
    assert_eq!(voters[0].peers, control.get_common().get_network().get_peers());
    assert_eq!(voters[0].name, *control.get_name());
    assert_eq!(entry.get_common().get_key_file(), control.get_common().get_key_file());
    assert!(entry.get_callers().ip().is_loopback());
}

#[test]
fn a_folder_that_cannot_be_made_is_named() {
    let error = settings::Embedded::new("/proc/self/none").prepare().expect_err("not writable");
    assert!(error.get_message().contains("`/proc/self/none`"), "{error}");
}
