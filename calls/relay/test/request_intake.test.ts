import {
  FIRST_INTAKE_CLASS,
  RequestIntake,
  type IntakeRequest,
} from '@carobseam/calls.relay';
import {ManualClock} from '@carobseam/core.clock';
import {expect} from 'chai';

/** An intake on an event loop whose turns the test determines. */
function createIntake(isTurnKnown = true) {
  const clock = new ManualClock();
  const scheduled: Array<() => void> = [];
  let waitingEvents = 0;
  const events: string[] = [];
  const intake = new RequestIntake({
    clock,
    afterReads: run => scheduled.push(run),
    eventLoopTurn: () => (isTurnKnown ? {waitingEvents} : {}),
  });
  const submit = (id: string, options: Partial<IntakeRequest> = {}) =>
    intake.submit({
      priorityClass: 2,
      expiresAtMs: clock.monotonicMs() + 1000,
      hasLeft: () => false,
      run: () => {
        events.push(`ran ${id}`);
        return Promise.resolve();
      },
      refuse: () => events.push(`refused ${id}`),
      drop: () => events.push(`dropped ${id}`),
      ...options,
    });
  /** Reads events that were waiting when the event loop polled. */
  const readLate = () => waitingEvents++;
  /** Ends a turn of the event loop. */
  const endTurn = () => scheduled.splice(0).forEach(run => run());
  void submit('first');
  endTurn();
  endTurn();
  events.length = 0;
  return {clock, events, submit, readLate, endTurn, scheduled};
}

describe('RequestIntake', () => {
  it('works at once on a request that was read when it arrived', () => {
    const {submit, events, scheduled} = createIntake();
    void submit('a');
    expect(events).to.deep.equal(['ran a']);
    expect(scheduled).to.have.length(0);
  });

  it('guards against work for a sender whose end lies behind its request', async () => {
    const {submit, readLate, endTurn, events} = createIntake();
    let hasLeft = false;
    readLate();
    const done = submit('a', {hasLeft: () => hasLeft});
    endTurn();
    expect(events).to.deep.equal([]);
    hasLeft = true; // read in the next turn
    endTurn();
    await done;
    expect(events).to.deep.equal(['dropped a']);
  });

  it('guards against taking every request for punctual when Node.js tells nothing of its turns', () => {
    const {submit, endTurn, events} = createIntake(false);
    void submit('a');
    endTurn();
    expect(events).to.deep.equal([]);
    endTurn();
    expect(events).to.deep.equal(['ran a']);
  });

  it('guards against requests that overtake others which wait for a poll', () => {
    const {submit, readLate, endTurn, events} = createIntake();
    readLate();
    void submit('a');
    void submit('b');
    endTurn();
    void submit('c');
    endTurn();
    endTurn();
    expect(events).to.deep.equal(['ran a', 'ran b', 'ran c']);
  });

  it('guards against work on a request that expired before it was read', () => {
    const {submit, events, clock} = createIntake();
    void submit('a', {expiresAtMs: clock.monotonicMs() + 10});
    expect(events).to.deep.equal(['refused a']);
  });

  it('guards against work before refusals, and against other work before that of hops and calls', () => {
    const {submit, readLate, endTurn, events, clock} = createIntake();
    readLate();
    void submit('caller');
    void submit('hop', {priorityClass: FIRST_INTAKE_CLASS});
    void submit('expired', {expiresAtMs: clock.monotonicMs()});
    endTurn();
    endTurn();
    expect(events).to.deep.equal(['refused expired', 'ran hop', 'ran caller']);
  });

  it('guards against requests that are forgotten after an error in the work on another', async () => {
    const {submit, readLate, endTurn, events} = createIntake();
    readLate();
    const failed = submit('a', {
      run: () => {
        throw new Error('no work');
      },
    }).catch((error: Error) => error.message);
    void submit('b');
    endTurn();
    endTurn();
    expect(await failed).to.equal('no work');
    expect(events).to.deep.equal(['ran b']);
  });
});
