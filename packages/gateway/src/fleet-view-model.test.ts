import {type FleetMember, type MemberList} from '@marjoramcove/fleet';
import {asId, type DaemonId, type IncarnationId} from '@marjoramcove/types';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FleetView, type TopicUpdate} from './fleet-view.ts';

const RUNS = Number(process.env.MODEL_RUNS ?? 200);

const SEED = 20_261_204;

const createMember = (index: number, incarnation: number): FleetMember => ({
	daemonId: asId<DaemonId>(`10.0.0.${index}:7700`),
	name: `entry-${index}`,
	incarnation: asId<IncarnationId>(`start-${incarnation}`),
	sequence: incarnation,
	role: 'entry',
	zone: 'a',
	phase: incarnation % 3 === 0 ? 'draining' : 'ready',
	ledGroups: [],
	documentVersion: 0,
});

/** Published fields of a list, in a fixed order. */
const describeList = (items: readonly FleetMember[]) =>
	items
		.map(
			({daemonId, incarnation, phase}) => `${daemonId} ${incarnation} ${phase}`,
		)
		.toSorted()
		.join('\n');

const stampText = ({stamp}: MemberList) => `${stamp.term}.${stamp.sequence}`;

const stepArbitrary = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('change' as const),
			index: fc.nat(19),
			incarnation: fc.nat(50),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('remove' as const),
			index: fc.nat(19),
		}),
	},
	{weight: 1, arbitrary: fc.record({type: fc.constant('elect' as const)})},
	/** One view asks another one; the answer is kept and delivered later, twice or never. */
	{
		weight: 8,
		arbitrary: fc.record({
			type: fc.constant('ask' as const),
			from: fc.nat(3),
			to: fc.nat(3),
		}),
	},
	{
		weight: 8,
		arbitrary: fc.record({
			type: fc.constant('deliver' as const),
			answer: fc.nat(30),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('restart' as const),
			view: fc.nat(3),
		}),
	},
);

describe('FleetView under lost, late, repeated and reordered answers', () => {
	it('holds under each stamp exactly the list that was published, and never an older one', () => {
		// Guards against views that silently differ because a change was lost or applied to another list.
		fc.assert(
			fc.property(fc.array(stepArbitrary, {maxLength: 150}), (steps) => {
				const published = new Map<string, string>();
				// Enough members that a few changes are smaller than the list.
				const members = new Map(
					Array.from({length: 20}, (_, index) => [
						index,
						createMember(index, 0),
					]),
				);
				let term = 1;
				let sequence = 0;
				const createView = () => new FleetView({keepsHistory: true});
				const leader = createView();
				// Views 0 and 1 are parents that ask the leader or each other; 2 and 3 ask the parents.
				const views = [createView(), createView(), createView(), createView()];
				const answers: Array<{to: FleetView; update: TopicUpdate}> = [];
				const publish = () => {
					sequence++;
					const list = {stamp: {term, sequence}, items: [...members.values()]};
					published.set(stampText(list), describeList(list.items));
					leader.merge({members: list});
				};

				publish();
				for (const view of views) {
					view.merge(leader.topicsNewerThan(view.position)!);
				}

				for (const step of steps) {
					switch (step.type) {
						case 'change': {
							members.set(
								step.index,
								createMember(step.index, step.incarnation),
							);
							publish();
							break;
						}

						case 'remove': {
							members.delete(step.index);
							publish();
							break;
						}

						case 'elect': {
							term++;
							sequence = 0;
							publish();
							break;
						}

						case 'ask': {
							const asking = views[step.from]!;
							const asked =
								step.from < 2 || step.to > 1 ? leader : views[step.to]!;
							const update = asked.topicsNewerThan(asking.position);
							if (update) {
								answers.push({to: asking, update});
							}

							break;
						}

						case 'deliver': {
							const answer = answers[step.answer % Math.max(1, answers.length)];
							const before = answer?.to.topics.members?.stamp;
							if (answer) {
								expect(answer.to.merge(answer.update).isDiverged).toBe(false);
								const after = answer.to.topics.members!.stamp;
								expect(
									before === undefined ||
										after.term > before.term ||
										(after.term === before.term &&
											after.sequence >= before.sequence),
								).toBe(true);
							}

							break;
						}

						case 'restart': {
							views[step.view] = createView();
							break;
						}
					}

					for (const {topics} of views) {
						if (topics.members) {
							expect(describeList(topics.members.items)).toBe(
								published.get(stampText(topics.members)),
							);
						}
					}
				}
			}),
			{numRuns: RUNS, seed: SEED},
		);
	});

	it('asks for the whole list when a change yields another digest, and adopts it', () => {
		// Guards against two lists under one stamp that are never reconciled.
		const leader = new FleetView({keepsHistory: true});
		const follower = new FleetView();
		const items = [1, 2, 3, 4].map((index) => createMember(index, 1));
		leader.merge({members: {stamp: {term: 1, sequence: 1}, items}});
		follower.merge({
			members: {stamp: {term: 1, sequence: 1}, items: items.slice(1)},
		});
		const next = [createMember(4, 2), ...items.slice(0, 3)];
		leader.merge({members: {stamp: {term: 1, sequence: 2}, items: next}});
		const update = leader.topicsNewerThan(follower.position)!;
		expect(update.memberChanges).toBeDefined();
		expect(follower.merge(update).isDiverged).toBe(true);
		follower.merge(leader.topicsNewerThan(follower.position)!);
		expect(describeList(follower.members)).toBe(describeList(next));
	});

	it('sends a fraction of the list for a change of one of 200 members', () => {
		// Guards against 50 KB to each of 200 daemons for each daemon that restarts.
		const leader = new FleetView({keepsHistory: true});
		const items = Array.from({length: 200}, (_, index) =>
			createMember(index, 1),
		);
		leader.merge({members: {stamp: {term: 1, sequence: 1}, items}});
		const position = {...leader.position};
		const next = [createMember(0, 2), ...items.slice(1)];
		leader.merge({members: {stamp: {term: 1, sequence: 2}, items: next}});
		const whole = JSON.stringify(next).length;
		const update = JSON.stringify(leader.topicsNewerThan(position)).length;
		expect(update).toBeLessThan(whole / 50);
	});

	it('sends the whole list to a daemon that missed too much', () => {
		const leader = new FleetView({keepsHistory: true});
		const items = [1, 2, 3, 4, 5, 6].map((index) => createMember(index, 1));
		leader.merge({members: {stamp: {term: 1, sequence: 1}, items}});
		const {position} = leader;
		for (let sequence = 2; sequence < 100; sequence++) {
			const changed = [createMember(1, sequence), ...items.slice(1)];
			leader.merge({members: {stamp: {term: 1, sequence}, items: changed}});
		}

		expect(leader.topicsNewerThan(position)?.members).toBeDefined();
	});
});
