import {expect} from 'chai';
import {
  findRolloutBlockers,
  formatStatus,
  mergeStatuses,
} from '@carobseam/cli.carobseam';
import type {DaemonStatus} from '@carobseam/daemon.admin/messages';
import {
  makeDaemonStatus as makeStatus,
  makeMemberStatus as makeMember,
} from '@carobseam/testing.fixtures';

function lagOf(fields: Partial<DaemonStatus>): string | undefined {
  const members = [makeMember({}), makeMember({vmId: 'w2'})];
  const holder = makeStatus({vmId: 'w2', members});
  const lagging = makeStatus({version: 4, ...fields});
  const status = mergeStatuses(
    [holder, lagging].map(status => ({address: '', status})),
  );
  return status.dataCentres[0]!.vms[0]!.lag;
}

describe('mergeStatuses', () => {
  const floor = {hard: 0, soft: 5, softActive: true, settled: true};
  const reasons: Array<[string, Partial<DaemonStatus>, string]> = [
    [
      'the search for a floor',
      {versionFloor: {...floor, settled: false}},
      'asks peers',
    ],
    [
      'a floor',
      {lifecycle: 'starting', versionFloor: floor},
      'waits for version 5',
    ],
    [
      'lost contact',
      {contact: {majority: false, majoritySinceWallMs: 0}},
      'majority',
    ],
    ['a refusal', {}, 'versions_refused_total'],
    ['leaving', {lifecycle: 'leaving'}, 'leaving'],
  ];
  for (const [name, fields, expected] of reasons) {
    it(`guards against a lag by ${name} without its reason`, () => {
      expect(lagOf(fields)).to.include(expected);
    });
  }

  it('guards against dead members that block a watch for ever', () => {
    const members = [
      makeMember({}),
      makeMember({vmId: 'w2', state: 'dead', configVersion: 3}),
      makeMember({vmId: 'w3', state: 'suspect', configVersion: 3}),
    ];
    const status = mergeStatuses([
      {address: '', status: makeStatus({members})},
    ]);
    expect(findRolloutBlockers(status, 5, false)).to.deep.equal(['w3 holds 3']);
    expect(status.dataCentres[0]!.readers).to.deep.equal(['w2']);
    expect(formatStatus(status).join('\n')).to.match(/w2 .* dead .*restart/);
  });

  it('guards against a data centre that nobody asked about', () => {
    const otherDataCentres = [
      {dataCentre: 'ost-linz', listedVms: 3, knownPeers: 3},
    ];
    const status = mergeStatuses([
      {address: '', status: makeStatus({otherDataCentres})},
    ]);
    expect(findRolloutBlockers(status, 5, false)).to.deep.equal([
      'no daemon of ost-linz was asked',
    ]);
    expect(findRolloutBlockers(status, 5, true)).to.deep.equal([]);
  });

  it('guards against one version with two contents', () => {
    const other = makeStatus({
      vmId: 'l1',
      dataCentre: 'ost-linz',
      manifestDigest: 'b',
      members: [makeMember({vmId: 'l1'})],
    });
    const status = mergeStatuses(
      [makeStatus({}), other].map(s => ({address: '', status: s})),
    );
    expect(status.conflicts).to.deep.equal(['l1']);
    expect(findRolloutBlockers(status, 5, false)).to.have.length(1);
  });
});
