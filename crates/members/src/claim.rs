//! What can be said of a member, and which of two sayings stands. All fronts that hear the same claims, in whatever
//! order and however often, end with the same one; this is the part that the model checker explores.

/// How a member stands. The order is that of standing at one incarnation: a later one overrules an earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    Alive,
    Suspected,
    Dead,
    Left,
}

impl State {
    pub fn of(number: u32) -> Option<State> {
        [State::Alive, State::Suspected, State::Dead, State::Left].get(number as usize).copied()
    }

    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspected => "suspected",
            State::Dead => "dead",
            State::Left => "left",
        }
    }

    /// Counted as being there.
    pub fn here(self) -> bool {
        self <= State::Suspected
    }
}

/// A saying about one member. Compared as a whole: a later start stands over all of the former process, a later
/// incarnation over all that was said before the member spoke up, and then the graver state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    /// Which of the processes of that name, by when it started; never by itself a time.
    pub start: u64,
    /// Raised by the member alone, to refute.
    pub incarnation: u64,
    pub state: State,
}

impl Claim {
    pub fn alive(start: u64) -> Claim {
        Claim { start, incarnation: 0, state: State::Alive }
    }

    pub fn with(self, state: State) -> Claim {
        Claim { state, ..self }
    }

    /// Whether this stands over what is known.
    pub fn overrules(&self, known: &Claim) -> bool {
        if crate::mutant("stale-incarnation") && self.start == known.start {
            return self.state != known.state;
        }
        self > known
    }
}

/// What a member that hears a claim about itself says then, if that was not so. What it left by its own word stands.
pub fn refute(own: Claim, heard: Claim) -> Option<Claim> {
    if crate::mutant("no-refutation") || own.state == State::Left || heard.start != own.start {
        return None;
    }
    let wrong = heard.state != State::Alive && heard.incarnation >= own.incarnation;
    wrong.then(|| Claim { incarnation: heard.incarnation + 1, ..own })
}

/// A member of which some are told that it has been forgotten, or that another process had its name, goes past that.
pub fn past(own: Claim, start: u64) -> Option<Claim> {
    (start >= own.start).then(|| Claim::alive(start + 1))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_later_start_stands_over_all_of_the_former_process() {
        let left = Claim { start: 5, incarnation: 9, state: State::Left };
        assert!(Claim::alive(6).overrules(&left));
        assert!(!left.overrules(&Claim::alive(6)));
    }

    #[test]
    fn only_a_later_incarnation_brings_back_the_dead() {
        let dead = Claim::alive(5).with(State::Dead);
        assert!(!Claim::alive(5).overrules(&dead));
        let back = refute(Claim::alive(5), dead).unwrap();
        assert!(back.overrules(&dead));
        assert_eq!(refute(back, dead), None);
        assert_eq!(refute(Claim::alive(5).with(State::Left), dead), None);
    }
}
