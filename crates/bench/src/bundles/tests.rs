use super::change_bytes;

// A change must cost its own size, not the bundle's: 3,400 a day go to every
// instance.
#[test]
fn the_bytes_of_a_change_do_not_grow_with_the_bundle() {
    let small = change_bytes(100);
    assert_eq!(change_bytes(1_000), small);
    assert!(small <= 512, "{small} bytes");
}
