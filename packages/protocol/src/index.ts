export * from './gen/wagtailway/v1/peer_pb.js'
