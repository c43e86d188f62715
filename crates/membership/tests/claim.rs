//! Tests of the rules by which a claim supersedes another one, and by which a wrong claim is refuted.

use meadowrill_membership::claim::{refute, Claim, MemberState};

#[test]
fn a_later_start_supersedes_all_claims_of_the_former_process() {
    let left = Claim {
        start: 5,
        incarnation: 9,
        state: MemberState::Left,
    };
    assert!(Claim::alive(6).supersedes(&left));
    assert!(!left.supersedes(&Claim::alive(6)));
}

#[test]
fn only_a_later_incarnation_supersedes_death() {
    let dead = Claim::alive(5).with_state(MemberState::Dead);
    assert!(!Claim::alive(5).supersedes(&dead));
    let back = refute(Claim::alive(5), dead).unwrap();
    assert!(back.supersedes(&dead));
    assert_eq!(refute(back, dead), None);
    assert_eq!(
        refute(Claim::alive(5).with_state(MemberState::Left), dead),
        None
    );
}
