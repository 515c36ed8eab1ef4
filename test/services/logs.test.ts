import * as test from 'node:test';
import * as earl from 'earl';
import * as budgets from '../../src/services/logs/LineBudget.js';

const MAX_LINES_PER_SECOND = 100;

void test.describe('LineBudget', () => {
  void test.it(
    'bounds the lines of an event and counts what is left out',
    () => {
      const budget = new budgets.LineBudget();
      let written = 0;
      for (let index = 0; index < 1000; index++)
        if (budget.decide('requestRefused', index / 2).kind === 'write')
          written += 1;
      earl.expect(written).toEqual(MAX_LINES_PER_SECOND);
      earl.expect(budget.decide('daemonStarted', 500).kind).toEqual('write');
      earl.expect(budget.decide('requestRefused', 1000)).toEqual({
        kind: 'writeAfterGap',
        leftOutCount: 900,
      });
      earl.expect(budget.decide('requestRefused', 1001).kind).toEqual('write');
    },
  );
});
