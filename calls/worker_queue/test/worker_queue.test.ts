import {
  WorkerQueue,
  type QueuedRequest,
  type QueueRefusalReason,
} from '@carobseam/calls.worker_queue';
import {ManualClock} from '@carobseam/core.clock';
import {expect} from 'chai';

interface NamedRequest extends QueuedRequest {
  name: string;
}

const OTHER_CLASS = 3; // of which no test submits a request
const SERVICE_MS = 200;

function createQueue(slots: number) {
  const clock = new ManualClock();
  const started: string[] = [];
  const refused: Array<[string, QueueRefusalReason]> = [];
  const queue = new WorkerQueue<NamedRequest>({
    clock,
    start: request => started.push(request.name),
    refuse: (request, reason) => refused.push([request.name, reason]),
  });
  queue.setSlots(slots);
  queue.estimate.recordSuccess(OTHER_CLASS, SERVICE_MS);
  const submit = (name: string, overrides: Partial<QueuedRequest> = {}) =>
    queue.submit({
      name,
      rank: 2,
      isLastCallerAttempt: false,
      dueAtMs: 1000,
      expiresAtMs: 3000,
      ...overrides,
    });
  return {clock, queue, submit, started, refused};
}

describe('WorkerQueue before the first response', () => {
  // Work of 5, 20, 330 and 3300 ms, with targets of three and deadlines of twelve times that.
  for (const targetMs of [15, 60, 1000, 10_000]) {
    it(`guards against refusing requests with a target of ${targetMs} ms whose work is short`, () => {
      const queue = new WorkerQueue<QueuedRequest>({
        clock: new ManualClock(),
        start: () => {},
        refuse: () => {},
      });
      queue.setSlots(2);
      const request = {
        rank: 1,
        isLastCallerAttempt: false,
        dueAtMs: targetMs,
        expiresAtMs: Math.max(100, targetMs * 4),
      };
      const kinds = Array.from(
        {length: 8},
        () => queue.submit({...request}).kind,
      );
      expect(kinds.slice(0, 4)).to.deep.equal([
        'start',
        'start',
        'queued',
        'queued',
      ]);
      expect(kinds.at(-1)).to.equal('refused');
    });
  }
});

describe('WorkerQueue', () => {
  it('starts requests while slots are free', () => {
    const {submit} = createQueue(2);
    expect(submit('a').kind).to.equal('start');
    expect(submit('b').kind).to.equal('start');
    expect(submit('c').kind).to.equal('queued');
  });

  it('starts requests by rank, then by due time', () => {
    const {queue, submit, started} = createQueue(1);
    submit('running');
    submit('second', {dueAtMs: 900});
    submit('third');
    submit('first', {rank: 1, dueAtMs: 2000});
    queue.release();
    queue.release();
    queue.release();
    expect(started).to.deep.equal(['first', 'second', 'third']);
  });

  it('refuses a request at once that would be late and that its caller can retry', () => {
    const {submit} = createQueue(1);
    submit('running');
    expect(submit('urgent', {dueAtMs: 300})).to.deep.include({
      kind: 'refused',
      reason: 'wouldBeLate',
    });
  });

  it('refuses a request at once that would expire in the queue', () => {
    const {submit} = createQueue(1);
    submit('running');
    const result = submit('expiring', {dueAtMs: 300, expiresAtMs: 300});
    expect(result).to.deep.include({kind: 'refused', reason: 'wouldExpire'});
  });

  it('queues the late request of a last caller attempt behind those in time', () => {
    const {queue, submit, started} = createQueue(1);
    submit('running');
    expect(
      submit('late', {dueAtMs: -1, isLastCallerAttempt: true}).kind,
    ).to.equal('queued');
    submit('inTime');
    queue.release();
    queue.release();
    expect(started).to.deep.equal(['inTime', 'late']);
  });

  it('guards against starting a request that expires before it ends', () => {
    const {clock, queue, submit, started, refused} = createQueue(1);
    submit('running');
    submit('waiting', {expiresAtMs: 900});
    clock.advance(800);
    queue.release();
    expect(started).to.deep.equal([]);
    expect(refused).to.deep.equal([['waiting', 'wouldExpire']]);
  });

  it('refuses queued and new requests while it drains', () => {
    const {queue, submit, refused} = createQueue(1);
    submit('running');
    submit('waiting');
    queue.drain();
    expect(refused).to.deep.equal([['waiting', 'leaving']]);
    expect(submit('new')).to.deep.include({kind: 'refused', reason: 'leaving'});
    queue.resume();
    queue.release();
    expect(submit('next').kind).to.equal('start');
  });

  it('does not start a request that was removed', () => {
    const {queue, submit, started} = createQueue(1);
    submit('running');
    const request = {
      name: 'removed',
      rank: 2,
      isLastCallerAttempt: false,
      dueAtMs: 1000,
      expiresAtMs: 3000,
    };
    queue.submit(request);
    expect(queue.remove(request)).to.equal(true);
    queue.release();
    expect(started).to.deep.equal([]);
  });

  it('guards against more starts a second than the worker accepts', () => {
    const {clock, queue, submit, started} = createQueue(8);
    queue.setRateLimit(10);
    for (const name of ['a', 'b', 'c']) {
      expect(submit(name).kind).to.equal('queued');
    }
    clock.advance(100);
    expect(started).to.deep.equal(['a']);
    clock.advance(200);
    expect(started).to.deep.equal(['a', 'b', 'c']);
    expect(queue.load.rateLimit?.perS).to.equal(10);
  });

  it('guards against holding a request that the rate leaves without a chance', () => {
    const {queue, submit} = createQueue(8);
    queue.setRateLimit(2);
    expect(submit('first').kind).to.equal('queued');
    const result = submit('second');
    expect(result).to.deep.equal({
      kind: 'refused',
      reason: 'wouldBeLate',
      retryAfterMs: 1000,
    });
  });

  it('guards against queued requests that a new limit makes late', () => {
    const {queue, submit, refused} = createQueue(1);
    submit('running');
    submit('waiting');
    submit('urgent', {rank: 1});
    queue.setRateLimit(2);
    expect(refused).to.deep.equal([['waiting', 'wouldBeLate']]);
  });

  it('guards against a newer request that takes the start of a queued one', () => {
    const {clock, queue, submit, started} = createQueue(8);
    queue.setRateLimit(10);
    submit('first', {rank: 1});
    clock.advance(99);
    expect(submit('second').kind).to.equal('queued');
    clock.advance(1);
    expect(started).to.deep.equal(['first']);
  });

  it('guards against queued requests that wait on after the limit was lifted', () => {
    const {queue, submit, started} = createQueue(8);
    queue.setRateLimit(2);
    submit('waiting');
    queue.setRateLimit(undefined);
    expect(started).to.deep.equal(['waiting']);
    expect(queue.load.rateLimit).to.equal(undefined);
  });
});
