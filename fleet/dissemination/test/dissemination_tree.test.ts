import {expect} from 'chai';
import type {VmId} from '@carobseam/core.types';
import {computeTreeNeighbours} from '@carobseam/fleet.dissemination';

describe('computeTreeNeighbours', () => {
  const members = Array.from({length: 210}, (_, i) => ({
    vmId: `vm-${i}` as VmId,
  }));
  const findNeighbours = (self: VmId) =>
    computeTreeNeighbours({key: 'ost-wien', members, self, fanOut: 6});

  it('reaches 210 daemons from the root in at most 4 hops', () => {
    const root = members.find(m => !findNeighbours(m.vmId).parent)!;
    const reached = new Set<VmId>([root.vmId]);
    let level: VmId[] = [root.vmId];
    let hops = 0;
    while (level.length > 0) {
      level = level.flatMap(id => findNeighbours(id).children.map(c => c.vmId));
      level.forEach(id => reached.add(id));
      hops += level.length > 0 ? 1 : 0;
    }
    expect(reached.size).to.equal(210);
    expect(hops).to.be.at.most(4);
  });

  it('lists each daemon among the children of its parent', () => {
    for (const {vmId} of members) {
      const {parent} = findNeighbours(vmId);
      const siblings = parent ? findNeighbours(parent.vmId).children : [];
      expect(!parent || siblings.some(s => s.vmId === vmId)).to.equal(true);
    }
  });
});
