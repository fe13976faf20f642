import {expect} from 'chai';
import {metricDefinitions, type MetricTable} from '@carobseam/core.metrics';
import {readDocsPage, readDocsTables} from '@carobseam/testing.fixtures';

const TABLE: MetricTable = metricDefinitions;

describe('docs/metrics.md', () => {
  it('guards against metrics that the page omits or describes differently', () => {
    const rows = [...readDocsTables('metrics.md').values()]
      .flatMap(table => [...table.values()])
      .filter(([name]) => name!.startsWith('carobseam_'))
      .map(cells => cells.join(' | '));
    const expected = Object.entries(TABLE).map(([name, metric]) =>
      [name, metric.type, metric.labels.join(', ') || '-', metric.help].join(
        ' | ',
      ),
    );
    expect(rows.sort()).to.deep.equal(expected.sort());
  });

  it('guards against alerts on metrics that do not exist', () => {
    const mentioned =
      readDocsPage('OPERATIONS.md').match(/carobseam_[a-z_]+/g) ?? [];
    const declared = new Set(Object.keys(TABLE));
    const undeclared = mentioned.filter(
      name => !declared.has(name.replace(/_(bucket|sum|count)$/, '')),
    );
    expect(mentioned).to.not.have.length(0);
    expect(undeclared).to.deep.equal([]);
  });
});
