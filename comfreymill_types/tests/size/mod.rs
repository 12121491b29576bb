//! Parsing and formatting of sizes, and arithmetic of resources.

use comfreymill_types::size;

use crate::support;

#[test]
fn byte_sizes_print_what_they_parse() {
    fn holds(bytes: u64) -> bool {
        let size = size::ByteSize::new(bytes);
        support::round_trips(&size) && support::round_trips_in_json(&size)
    }
    support::check(holds as fn(u64) -> bool);
    for bytes in [0, 1, 1_000, 1_024, 60_000_000_000, 3 << 40, u64::MAX] {
        assert!(support::round_trips(&size::ByteSize::new(bytes)), "{bytes}");
    }
}

#[test]
fn byte_sizes_take_fractions_and_units() {
    let cases = [
        ("64KiB", 64 << 10),
        ("1.5MiB", 3 << 19),
        ("60GB", 60_000_000_000),
        ("0.5TB", 500_000_000_000),
        ("7B", 7),
    ];
    for (text, bytes) in cases {
        assert_eq!(text.parse::<size::ByteSize>().expect(text).get(), bytes, "{text}");
    }
}

#[test]
fn byte_sizes_refuse_other_text() {
    support::expect_refusals::<size::ByteSize>(&[
        "",
        "8",
        "B",
        "8 GB",
        "-8GB",
        "+8GB",
        "8gb",
        "8Gi",
        "1e3KB",
        "infB",
        "0.5B",
        "8PB",
        "99999999999TiB",
    ]);
}

#[test]
fn cores_print_what_they_parse() {
    fn holds(millis: u32) -> bool {
        let cores = size::Cores::from_millis(u64::from(millis) % 1_000_000_001);
        support::round_trips(&cores) && support::round_trips_in_json(&cores)
    }
    support::check(holds as fn(u32) -> bool);
    support::expect_refusals::<size::Cores>(&["", "-1", "two", "1000001", "NaN", "inf"]);
}

#[test]
fn resources_fit_only_if_each_amount_fits() {
    fn holds(a: [u16; 3], b: [u16; 3]) -> bool {
        let to_resources = |[cores, memory, accelerators]: [u16; 3]| {
            size::Resources::new(cores.into(), memory.into(), accelerators.into())
        };
        let fits = a.iter().zip(&b).all(|(a, b)| a <= b);
        let (a, b) = (to_resources(a), to_resources(b));
        let sum = a + b;
        a.fits_in(&b) == fits
            && a.fits_in(&a.max(&b))
            && b.fits_in(&a.max(&b))
            && sum.saturating_sub(&b) == a
            && (a.saturating_sub(&b) == size::Resources::ZERO) == fits
    }
    fn property(a: (u16, u16, u16), b: (u16, u16, u16)) -> bool {
        holds([a.0, a.1, a.2], [b.0, b.1, b.2])
    }
    support::check(property as fn((u16, u16, u16), (u16, u16, u16)) -> bool);
}

#[test]
fn sums_of_resources_never_wrap() {
    let max = size::Resources::new(u64::MAX, u64::MAX, u32::MAX);
    assert_eq!(max + max, max);
    assert_eq!(size::Resources::ZERO.saturating_sub(&max), size::Resources::ZERO);
}
