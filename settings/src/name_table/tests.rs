use super::*;

/// Guards against unbounded memory use by endpoint lists that keep adding names.
#[test]
fn names_beyond_the_maximum_share_the_last_id() {
    let mut names = vec!["first".to_owned()];
    let last = (0..5000)
        .map(|n| find_or_insert(&mut names, &n.to_string()))
        .max();
    assert_eq!(
        (names.len(), last),
        (MAX_NAMES, Some(id_of_position(MAX_NAMES - 1)))
    );
    assert_eq!(find_or_insert(&mut names, "first"), 0);
}
