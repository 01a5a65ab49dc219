//! Sizes of VMs.

use model::vm::VmSize;
use test_case::test_case;

/// A share and a number of cores count by their product; a tiny VM still counts as something.
#[test_case(1.0, 0.12, 10.0, 120, 10_000)]
#[test_case(4.0, 0.5, 200.0, 2_000, 200_000)]
#[test_case(1.0, 1e-6, 1e-6, 1, 1; "tiny")]
fn a_size_holds_cores_and_link(cores: f64, share: f64, link: f64, cpu: u32, kbps: u32) {
    let size = VmSize::new(cores, share, link).unwrap();
    assert_eq!((size.cpu_millis, size.link_kbps), (cpu, kbps));
}

#[test_case(0.0, 1.0, 10.0, "cores"; "no core")]
#[test_case(1.0, -0.5, 10.0, "core_share"; "negative share")]
#[test_case(1.0, f64::NAN, 10.0, "core_share"; "no number")]
#[test_case(4_000.0, 4_000.0, 10.0, "cores x core_share"; "absurd product")]
#[test_case(1.0, 1.0, 0.0, "link_mbps"; "no link")]
#[test_case(1.0, 1.0, f64::INFINITY, "link_mbps"; "infinite link")]
fn a_wrong_size_is_an_error_with_its_field(cores: f64, share: f64, link: f64, field: &str) {
    let error = VmSize::new(cores, share, link).unwrap_err();
    assert_eq!(error.field, field);
}
