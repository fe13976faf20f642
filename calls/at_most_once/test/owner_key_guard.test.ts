import {
  createDaemonBlackboard,
  type MemberView,
} from '@carobseam/core.blackboard';
import {ManualClock, PauseDetector, SeededRandom} from '@carobseam/core.clock';
import {Metrics} from '@carobseam/core.metrics';
import type {DataCentreName, ServiceName, VmId} from '@carobseam/core.types';
import {
  createAtMostOnce,
  refusalReasonForKey,
  MAX_EXECUTED_KEYS,
  MAX_TOTAL_RESPONSE_BYTES,
  parseIdempotencyKey,
  type KeyedRequest,
  type KeyTicket,
  type OwnerKeyGuard,
} from '@carobseam/calls.at_most_once';
import {refusalDefinitions} from '@carobseam/calls.types';
import {expect} from 'chai';

const dataCentre = 'ost.wien' as DataCentreName;
const service = 'archivar' as ServiceName;
const vmId = 'vm-1' as VmId;
const response = {statusCode: 201, headers: {}, body: Buffer.from('ok')};

function createMember(name: string, change: Partial<MemberView> = {}) {
  const record = {vmId: name as VmId, dataCentre, service, ...ADDRESS};
  return {...record, ...change} as MemberView;
}

const ADDRESS = {
  address: '127.0.0.1',
  fleetPort: 1,
  callersPort: 2,
  incarnation: 1,
  state: 'alive' as const,
  servingSinceWallMs: 0,
  configVersion: 1,
};

function setUp() {
  const clock = new ManualClock();
  const blackboard = createDaemonBlackboard();
  const pauseDetector = new PauseDetector({clock});
  void pauseDetector.start();
  const setMembers = (...members: MemberView[]) =>
    blackboard.write('members', new Map(members.map(m => [m.vmId, m])));
  setMembers(createMember(vmId));
  blackboard.write('lifecycle', 'serving');
  blackboard.write('contact', {majority: true, majoritySinceWallMs: 0});
  const common = {vmId, dataCentre, blackboard, clock, pauseDetector};
  const random = new SeededRandom(1);
  const parts = createAtMostOnce({...common, random, metrics: new Metrics()});
  const guard = parts.keyGuard as OwnerKeyGuard;
  const request = (change: Partial<KeyedRequest> = {}): KeyedRequest => {
    const key = parts.keyIssuer.issue(service);
    return {key, service, fingerprint: 'a', ...change};
  };
  const run = (keyed: KeyedRequest): KeyTicket => {
    const decision = guard.decide(keyed);
    expect(decision.kind).to.equal('run');
    return (decision as {ticket: KeyTicket}).ticket;
  };
  const refusal = (keyed: KeyedRequest) => {
    const decision = guard.decide(keyed);
    return decision.kind === 'refuse' ? decision.reason : decision.kind;
  };
  return {...parts, ...common, guard, setMembers, request, run, refusal};
}

describe('OwnerKeyGuard', () => {
  it('replays the stored response and binds a key to one request', async () => {
    const {guard, request, run, refusal} = setUp();
    const keyed = request();
    const ticket = run(keyed);
    const waiting = guard.decide(keyed);
    expect(refusal({...keyed, fingerprint: 'b'})).to.equal('key_conflict');
    ticket.complete(response);
    ticket.markOutcomeUnknown();
    expect(guard.decide(keyed)).to.deep.equal({kind: 'replay', response});
    expect(
      await (waiting as {outcome: Promise<unknown>}).outcome,
    ).to.deep.equal(response);
    const lost = request();
    run(lost).markOutcomeUnknown();
    expect(refusal(lost)).to.equal('worker_failed');
  });

  // Guards against executing a delayed earlier attempt after the caller was
  // told `not-run`.
  it('never executes a released key unless it was its first send', () => {
    const {request, run, refusal} = setUp();
    const repeated = request();
    run(repeated).release();
    expect(refusal(repeated)).to.equal('key_refused');
    const first = request({firstSend: true});
    run(first).release();
    run(first);
  });

  it('refuses keys issued before a pause or a jump of the wall clock', () => {
    const {clock, request, refusal, run} = setUp();
    const inSocket = request();
    clock.jump(20_000);
    expect(refusal(inSocket)).to.equal('owner_restarted');
    clock.advance(5100);
    run(request());
    for (const shiftMs of [3000, -3000]) {
      const beforeShift = request();
      clock.shiftWall(shiftMs);
      expect(refusal(beforeShift)).to.be.oneOf([
        'owner_restarted',
        'owner_unknown',
      ]);
      clock.advance(8200);
      run(request());
    }
  });

  // Guards against a removed key that becomes valid again when the clock is set
  // back.
  it('refuses an expired key after the clock was set back', () => {
    const {clock, request, run, refusal} = setUp();
    const keyed = request();
    run(keyed).complete(response);
    clock.advance(11 * 60_000);
    expect(refusal(keyed)).to.equal('outcome_expired');
    clock.shiftWall(-11 * 60_000);
    expect(refusal(keyed)).to.equal('outcome_expired');
  });

  it('refuses keys without a majority, from the future and while leaving', () => {
    const {blackboard, clock, request, run, refusal} = setUp();
    const executed = request();
    run(executed).complete(response);
    const early = request();
    clock.shiftWall(-400);
    clock.advance(1);
    blackboard.write('lifecycle', 'leaving');
    expect(refusal(executed)).to.equal('replay');
    expect(refusal(early)).to.equal('leaving');
    expect(refusal(early)).to.equal('key_refused');
    blackboard.write('contact', {majority: false, majoritySinceWallMs: 0});
    expect(refusal(request())).to.equal('owner_isolated');
    expect(refusal(request({firstSend: true}))).to.equal('no_majority');
    const issuedWallMs = clock.wallMs() + 1500;
    const key = {...request().key, issuedWallMs};
    expect(refusal(request({key}))).to.equal('owner_unknown');
  });

  it('limits the stored keys and bytes', () => {
    const {guard, request, run, refusal} = setUp();
    const body = Buffer.alloc(16_000);
    for (let count = 0; count < MAX_EXECUTED_KEYS; count++) {
      run(request()).complete({statusCode: 200, headers: {}, body});
    }
    expect(guard.storedBytes).to.be.within(1, MAX_TOTAL_RESPONSE_BYTES);
    const more = request();
    expect(refusal(more)).to.equal('key_memory_full');
    expect(refusal(more)).to.equal('key_refused');
  });
});

describe('RendezvousOwnerChooser', () => {
  // Guards against a second owner after the first one restarted or is no longer
  // a member.
  it('keeps the owner of a key that an earlier process may have executed', () => {
    const {clock, setMembers, ownerChooser, request} = setUp();
    const self = createMember(vmId);
    setMembers(self, createMember('vm-2'));
    const ownerOf = ({key}: KeyedRequest) => {
      const decision = ownerChooser.choose(key, service, false);
      return decision.kind === 'owner' ? decision.vmId : decision.reason;
    };
    const findKey = () => {
      let keyed = request();
      while (ownerOf(keyed) !== 'vm-2') {
        keyed = request();
      }
      return keyed;
    };
    const early = findKey();
    clock.advance(3000);
    const servingSinceWallMs = clock.wallMs();
    setMembers(self, createMember('vm-2', {servingSinceWallMs}));
    expect(ownerOf(early)).to.equal('vm-2');
    clock.advance(3000);
    expect(ownerOf(request())).to.equal(vmId);
    clock.advance(3000);
    const late = findKey();
    setMembers(self);
    expect([early, late].map(ownerOf)).to.deep.equal(['vm-2', 'vm-2']);
    clock.advance(10_000);
    expect(ownerOf(request())).to.equal(vmId);
    expect(ownerOf(late)).to.equal('vm-2');
  });

  // Guards against counting from the time at which the member was seen as dead.
  it('counts from the time at which the exit of a process was proved', () => {
    const {clock, setMembers, ownerChooser} = setUp();
    const deadSinceWallMs = clock.wallMs();
    const other = 'hintdesk' as ServiceName;
    const dead = {state: 'dead' as const, deadSinceWallMs, service: other};
    setMembers(createMember('vm-2', dead));
    clock.advance(4000);
    setMembers(createMember('vm-2', {...dead, goneProved: true}));
    const kindAt = (offsetMs: number) => {
      const issuedWallMs = clock.wallMs() + offsetMs;
      return ownerChooser.choose(
        {text: 'k', dataCentre, issuedWallMs},
        other,
        true,
      ).kind;
    };
    expect(kindAt(1900)).to.equal('owner');
    expect(kindAt(2100)).to.equal('refuse');
  });
});

describe('keys and refusals', () => {
  it('parses keys of data centres with dots and rejects malformed keys', () => {
    const {request} = setUp();
    const {key} = request();
    expect(parseIdempotencyKey(key.text)).to.deep.equal(key);
    for (const text of ['', 'a.b', 'ost.1.short', 'ost.1.12345678, x', 7]) {
      expect(parseIdempotencyKey(text)).to.equal(undefined);
    }
  });

  it('never reports not-run for a key that was sent before', () => {
    for (const reason of Object.keys(refusalDefinitions)) {
      const stated = refusalReasonForKey(reason as 'leaving', false);
      expect(refusalDefinitions[stated].kind).to.equal(
        reason === 'key_invalid' ? 'not-run' : 'outcome-unknown',
      );
    }
  });
});
