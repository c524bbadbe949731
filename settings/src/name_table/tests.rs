use super::*;

/// A list that names ever new kinds must not grow a node.
#[test]
fn names_past_the_bound_share_the_last_id() {
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
