export * from './gen/wagtailway/v1/load_pb.js'
export * from './gen/wagtailway/v1/peer_pb.js'
