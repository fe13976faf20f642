import {CrashMarks} from '@carobseam/calls.crash_marks';
import {ManualClock, SeededRandom} from '@carobseam/core.clock';
import {silentLogger} from '@carobseam/core.logger';
import {
  CrashMarkExchange,
  decodeMarkNotice,
  type MarkNotice,
} from '@carobseam/fleet.crash_mark_exchange';
import {expect} from 'chai';

const FINGERPRINT = 'f'.repeat(32);
const SPREAD_MS = 2000; // below the contact time after which all relays must know a mark

interface FleetOptions {
  dataCentres: number;
  relaysEach: number;
  /** Whether a message is lost. */
  isLost?: (to: string, attempt: number) => boolean;
}

/** Creates the exchanges of a fleet; messages arrive in the same turn. */
function createFleet({dataCentres, relaysEach, isLost}: FleetOptions) {
  const clock = new ManualClock();
  const all = Array.from({length: dataCentres}, (_, dataCentre) =>
    Array.from(
      {length: relaysEach},
      (_unused, index) => `${dataCentre}:${index}`,
    ),
  );
  const exchanges = new Map<string, CrashMarkExchange>();
  const marks = new Map<string, CrashMarks>();
  let messages = 0;
  const attempts = new Map<string, number>();
  const send = (to: string, notice: MarkNotice) => {
    messages++;
    attempts.set(to, (attempts.get(to) ?? 0) + 1);
    if (isLost?.(to, attempts.get(to)!)) {
      return Promise.reject(new Error('lost'));
    }
    exchanges
      .get(to)!
      .receive(JSON.parse(JSON.stringify(notice)) as MarkNotice);
    return Promise.resolve();
  };
  const create = (own: string, seed: number) => {
    const ownMarks = new CrashMarks({clock, crashLimit: 3});
    const isOwn = (addresses: readonly string[]) => addresses.includes(own);
    marks.set(own, ownMarks);
    exchanges.set(
      own,
      new CrashMarkExchange({
        clock,
        random: new SeededRandom(seed),
        logger: silentLogger,
        marks: ownMarks,
        relays: () => ({
          dataCentre: all.find(isOwn)!.filter(address => address !== own),
          others: all.filter(addresses => !isOwn(addresses)),
        }),
        send,
        fetch: address => Promise.resolve(exchanges.get(address)!.list()),
      }),
    );
  };
  all.flat().forEach(create);
  const crash = (at: string, crashId: string) =>
    exchanges
      .get(at)!
      .recordCrash(crashId, [
        {fingerprint: FINGERPRINT, startedMonotonicMs: clock.monotonicMs()},
      ]);
  const countKnowing = () =>
    [...marks.values()].filter(({size}) => size > 0).length;
  /** Advances the clock, with the turns in which failed messages are noticed. */
  const settle = async () => {
    for (let passedMs = 0; passedMs < SPREAD_MS; passedMs += 100) {
      clock.advance(100);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {
    clock,
    exchanges,
    marks,
    create,
    crash,
    countKnowing,
    settle,
    messageCount: () => messages,
  };
}

describe('CrashMarkExchange', () => {
  it('guards against a relay of any data centre that does not learn of a crash', async () => {
    const fleet = createFleet({dataCentres: 6, relaysEach: 33});
    fleet.crash('2:5', 'a');
    await fleet.settle();
    expect(fleet.countKnowing()).to.equal(198);
    // Once to each relay of its data centre; two forwarders elsewhere reach all of theirs.
    expect(fleet.messageCount()).to.equal(32 + 5 * 2 * (1 + 32));
  });

  it('guards against a notice that is lost for good', async () => {
    const fleet = createFleet({
      dataCentres: 3,
      relaysEach: 5,
      // The first message to each relay is lost.
      isLost: (_to, attempt) => attempt === 1,
    });
    fleet.crash('0:0', 'a');
    await fleet.settle();
    expect(fleet.countKnowing()).to.equal(15);
  });

  it('guards against forgetting marks with a restart', async () => {
    const fleet = createFleet({dataCentres: 2, relaysEach: 4});
    for (const [at, crashId] of [
      ['0:0', 'a'],
      ['0:1', 'b'],
      ['1:2', 'c'],
    ] as const) {
      fleet.crash(at, crashId);
      await fleet.settle();
    }
    fleet.create('0:3', 9);
    await fleet.exchanges.get('0:3')!.start();
    expect(fleet.marks.get('0:3')!.isRefused(FINGERPRINT)).to.equal(true);
  });

  it('guards against refusing a request that has completed elsewhere', async () => {
    const fleet = createFleet({dataCentres: 2, relaysEach: 4});
    fleet.crash('0:0', 'a');
    await fleet.settle();
    fleet.exchanges.get('1:3')!.recordCompletion(FINGERPRINT);
    await fleet.settle();
    expect(fleet.countKnowing()).to.equal(0);
  });

  it('guards against messages while no worker crashes', async () => {
    const fleet = createFleet({dataCentres: 2, relaysEach: 4});
    fleet.exchanges.get('0:0')!.recordCompletion(FINGERPRINT);
    await fleet.settle();
    expect(fleet.messageCount()).to.equal(0);
  });
});

describe('decodeMarkNotice', () => {
  const mark = {fingerprint: FINGERPRINT, crashId: 'a', remainingMs: 5};

  it('reads a notice', () => {
    const notice = {
      marks: [mark],
      cleared: [FINGERPRINT],
      isForDataCentre: true,
    };
    expect(decodeMarkNotice(JSON.stringify(notice))).to.deep.equal(notice);
  });

  const malformed: Array<[name: string, text: string]> = [
    ['text that is not JSON', '{'],
    ['null', 'null'],
    ['no lists', '{}'],
    [
      'a mark without a fingerprint',
      '{"marks":[{"crashId":"a"}],"cleared":[]}',
    ],
    ['a mark that is null', '{"marks":[null],"cleared":[]}'],
    [
      'a long id',
      JSON.stringify({
        marks: [{...mark, crashId: 'a'.repeat(97)}],
        cleared: [],
      }),
    ],
    ['a cleared number', '{"marks":[],"cleared":[7]}'],
  ];
  for (const [name, text] of malformed) {
    it(`guards against taking a malformed notice: ${name}`, () => {
      expect(decodeMarkNotice(text)).to.equal(undefined);
    });
  }
});
