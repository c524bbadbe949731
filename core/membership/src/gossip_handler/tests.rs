use std::net::SocketAddr;

use super::*;
use crate::api::{MemberId, Topic};
use crate::gossip_store::MAX_STORED_ITEMS;

fn receive(handler: &mut GossipHandler, member: u64, count: u32) {
    let item = GossipItem {
        member: MemberId(member),
        topic: Topic(0),
        version: GossipVersion {
            incarnation: 1,
            count,
        },
        sent_at: 0,
        body: Vec::new(),
    };
    let sender = MemberIdentity::from_seed_address(SocketAddr::from(([127, 0, 0, 1], 9)));
    let mut buffer = [0; 64];
    let data = postcard::to_slice(&item, &mut buffer).expect("the item is encoded");
    handler
        .receive_item(data, Some(&sender))
        .expect("the item is decoded");
}

#[test]
fn items_with_new_keys_beyond_the_limit_are_counted_and_updates_of_stored_keys_are_not() {
    let state = Rc::<RefCell<GossipState>>::default();
    let mut handler = GossipHandler(state.clone());
    for member in 0..MAX_STORED_ITEMS as u64 {
        receive(&mut handler, member, 1);
    }
    receive(&mut handler, 0, 2);
    assert_eq!(state.borrow().ignored_count, 0);
    for member in 0..3 {
        receive(&mut handler, MAX_STORED_ITEMS as u64 + member, 1);
    }
    assert_eq!(state.borrow().ignored_count, 3);
}
