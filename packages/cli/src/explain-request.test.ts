import {describe, expect, it} from 'vitest';
import {explainRequest, parseLogLine} from './explain-request.ts';

const timestamp = (second: number) => `time=2026-12-04T10:00:0${second}.000Z`;

const logs = [
	`level=info ${timestamp(5)} daemon=entry-1 event=request-finished request=r1 program=p1 status=503 reason=turn-shard-unavailable attempts=0 durationMs=900`,
	`level=info ${timestamp(4)} daemon=store-2 event=leadership-changed group=shard-1 term=3 isLeader=true`,
	`level=warn ${timestamp(4)} daemon=entry-2 event=parent-lost peer=c1`,
	`level=info ${timestamp(3)} daemon=entry-1 event=link-closed peer=s1 reason=silent`,
	`level=info ${timestamp(1)} daemon=entry-1 event=request-finished request=r0 program=p0 status=200 reason=served durationMs=10`,
	'an unrelated line',
];

describe('explainRequest', () => {
	it('sorts the related lines by time and states the cause', () => {
		const explanation = explainRequest(logs, 'r1')!;
		expect(explanation.lines.map(({fields}) => fields.event)).toEqual([
			'link-closed',
			'leadership-changed',
			'request-finished',
		]);
		expect(explanation.sentence).toContain(
			'the shard of its program could not be reached in time',
		);
	});

	it('reports a request that has not finished', () => {
		const line = `${timestamp(5)} daemon=entry-1 event=turn-not-settled request=r9`;
		expect(explainRequest([line], 'r9')?.sentence).toContain('not finished');
	});

	it('returns undefined for a request that no line names', () => {
		expect(explainRequest(logs, 'r2')).toBeUndefined();
	});
});

describe('parseLogLine', () => {
	it('parses quoted values', () => {
		const {fields} = parseLogLine(String.raw`a=1 error="said \"no\"" b=2`);
		expect(fields).toEqual({a: '1', error: String.raw`said \"no\"`, b: '2'});
	});
});
