use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::draw;

/// The example of RFC 9562, appendix A.6, has this time.
#[test]
fn a_key_is_a_version_7_uuid_of_its_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let issued = Duration::from_secs(0x017F_22E2_79B0 / 1000);
    let key = draw(issued, &mut rng);
    let lengths: Vec<usize> = key.split('-').map(str::len).collect();
    assert_eq!(lengths, [8, 4, 4, 4, 12]);
    assert!(key.starts_with("017f22e2-79b0-7"), "{key}");
    assert!("89ab".contains(&key[19..20]), "{key}");
    assert_ne!(key, draw(issued, &mut rng));
}
